/**
 * Relaying of connections: a daemon that cannot reach a member connects to it through
 * another daemon that can.
 */
package org.magnolialead.transport.relay;
