/** Accounts as they are stored, and reports made from them. */
package org.marjoramhoist.account;
