/** Stand-ins for the platform's store and for workers, for trials and tests. */
package org.marjoramhoist.standin;
