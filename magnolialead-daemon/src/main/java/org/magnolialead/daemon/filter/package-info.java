/**
 * Filter chain that processes callers' requests in an entry daemon.
 */
package org.magnolialead.daemon.filter;
