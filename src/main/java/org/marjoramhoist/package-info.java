/** Dispatcher for sub-second tasks: entry hosts between callers and upstreams. */
package org.marjoramhoist;
