/** A bounded load tool that compares response times with the ideal. */
package org.marjoramhoist.load;
