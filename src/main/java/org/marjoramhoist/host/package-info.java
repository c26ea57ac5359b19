/** One entry host: the decisions, the loop that drives them, and the adapters around it. */
package org.marjoramhoist.host;
