/**
 * Drives the decisions in virtual time through small fakes, for the policy bench and for histories.
 */
package org.marjoramhoist.experiment;
