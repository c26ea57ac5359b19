/** Immutable values that every other package shares: identifiers, jobs, answers and error kinds. */
package org.marjoramhoist.model;
