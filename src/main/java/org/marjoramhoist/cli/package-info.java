/** The command line. */
package org.marjoramhoist.cli;
