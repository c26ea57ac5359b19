/** The adapter to upstreams' workers. */
package org.marjoramhoist.upstream;
