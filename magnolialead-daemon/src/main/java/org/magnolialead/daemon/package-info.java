/**
 * Command line entry point and assembly of the magnolialead daemon.
 */
package org.magnolialead.daemon;
