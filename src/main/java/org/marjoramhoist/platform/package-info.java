/** Clients and message formats of the platform: its key-value stores, workers and job requests. */
package org.marjoramhoist.platform;
