/** HTTP by Undertow: a client with pooled connections, and helpers for servers. */
package org.marjoramhoist.http;
