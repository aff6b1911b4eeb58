/**
 * Launcher of the magnolialead daemon.
 */
package org.magnolialead.daemon;
