/**
 * Demonstration of a small fleet under load, failure and floods.
 */
package org.magnolialead.testsupport.demo;
