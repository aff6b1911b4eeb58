/**
 * Fault-injecting TCP proxy between processes.
 */
package org.magnolialead.testsupport.proxy;
