/** Typed messages between entry hosts. */
package org.marjoramhoist.message;
