/**
 * Entry role: control link, fleet view and forwarding of requests to the owners of
 * groups.
 */
package org.magnolialead.daemon.entry;
