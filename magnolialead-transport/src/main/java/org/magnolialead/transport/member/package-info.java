/**
 * Client side of the HTTP interface of database members, with a connection pool.
 */
package org.magnolialead.transport.member;
