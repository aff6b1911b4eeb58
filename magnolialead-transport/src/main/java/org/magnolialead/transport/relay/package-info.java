/**
 * Connections that one daemon opens on behalf of another, so that a daemon that is cut
 * off from a member reaches it through one that is not.
 */
package org.magnolialead.transport.relay;
