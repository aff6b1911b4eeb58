/**
 * TCP proxy that injects network faults between processes.
 */
package org.magnolialead.testsupport.proxy;
