/** Jobs as callers hand them in: steps of tasks, what a task needs, and the class of request. */
package org.marjoramhoist.job;
