/** Decides which connections of clients stay open, and how much memory they may use in sum. */
package org.marjoramhoist.connection;
