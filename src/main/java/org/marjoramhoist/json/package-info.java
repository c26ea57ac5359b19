/** Reads JSON with comments strictly, and reports every fault with its file, line and key. */
package org.marjoramhoist.json;
