/** Stand-ins for the platform's store and workers, for tests and trials on one machine. */
package org.marjoramhoist.platform.standin;
