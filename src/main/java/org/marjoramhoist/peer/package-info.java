/** Connections between entry hosts: TCP frames of MessagePack. */
package org.marjoramhoist.peer;
