/** The numbered log events and the writer that fills in their fields. */
package org.marjoramhoist.log;
