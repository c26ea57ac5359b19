/** Settings of a process, read from JSON with comments. */
package org.marjoramhoist.config;
