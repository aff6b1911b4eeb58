/**
 * Netty configuration that servers and clients share.
 */
package org.magnolialead.transport.netty;
