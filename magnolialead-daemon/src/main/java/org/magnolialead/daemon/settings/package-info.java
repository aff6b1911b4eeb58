/**
 * Settings of a daemon: TOML parsing, validation and typed records.
 */
package org.magnolialead.daemon.settings;
