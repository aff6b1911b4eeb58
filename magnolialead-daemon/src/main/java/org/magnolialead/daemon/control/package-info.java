/**
 * Control role: the replicated command log and the controllers that act on its state.
 */
package org.magnolialead.daemon.control;
