/**
 * Filter chain for callers' requests at an entry daemon.
 */
package org.magnolialead.daemon.filter;
