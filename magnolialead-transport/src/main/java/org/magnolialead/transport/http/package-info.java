/**
 * HTTP/1.1 server for requests of callers, the platform and database members.
 */
package org.magnolialead.transport.http;
