/** Resources that operators declare: upstreams, teams and classes of request. */
package org.marjoramhoist.resource;
