/** HTTP listeners that bound what clients can make a host hold. */
package org.marjoramhoist.listener;
