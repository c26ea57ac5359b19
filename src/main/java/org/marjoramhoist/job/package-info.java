/** Jobs as submitted by callers: steps, tasks, required resources and request classes. */
package org.marjoramhoist.job;
