/**
 * Rate limits of client accounts at an entry daemon: requests for tokens to the control
 * leader, metrics and log lines. Everything runs on one serial executor.
 */
package org.magnolialead.daemon.quota;
