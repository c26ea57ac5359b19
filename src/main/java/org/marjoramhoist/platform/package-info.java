/** The platform's store: a narrow interface and its etcd adapter. */
package org.marjoramhoist.platform;
