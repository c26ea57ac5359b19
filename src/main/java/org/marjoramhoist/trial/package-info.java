/** Clusters of entry hosts with stand-ins for the platform, in one process. */
package org.marjoramhoist.trial;
