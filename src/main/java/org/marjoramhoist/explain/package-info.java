/** Tells the story of one request from the logs of several hosts. Reads logs, and nothing else. */
package org.marjoramhoist.explain;
