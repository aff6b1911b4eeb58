/**
 * Entry role: link to control, fleet view and forwarding to the owners of groups.
 */
package org.magnolialead.daemon.entry;
