/**
 * Settings of a daemon: reading from TOML, checks and typed records.
 */
package org.magnolialead.daemon.settings;
