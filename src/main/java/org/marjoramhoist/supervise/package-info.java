/** A tree of parts that are started in order, watched, started again, and stopped in reverse. */
package org.marjoramhoist.supervise;
