/**
 * Demonstration of a small fleet under load, during a failover and under overload.
 */
package org.magnolialead.testsupport.demo;
