/** Entry hosts with stand-ins of the platform around them, in one process. */
package org.marjoramhoist.trial;
