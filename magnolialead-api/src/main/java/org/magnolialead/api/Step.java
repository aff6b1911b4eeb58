package org.magnolialead.api;

/**
 * Processing step of a request or control operation at which an error occurred.
 */
public enum Step {

	/** Reading the request from the caller. */
	RECEIVE,
	/** Checking that the daemon holds a valid lease. */
	LEASE,
	/** Looking up the profile. */
	PROFILE,
	/** Checking the deadline. */
	DEADLINE,
	/** Checking the session token. */
	SESSION,
	/** Deciding whether there is capacity for the request. */
	ADMISSION,
	/** Forwarding to the owner of the database group. */
	FORWARD,
	/** Recording a non-repeatable request in the control log. */
	RECORD,
	/** Waiting for an execution slot of a database member. */
	QUEUE,
	/** Opening a connection to a database member. */
	CONNECT,
	/** Executing at a database member. */
	EXECUTE,
	/** Waiting until a majority of members have stored a write. */
	CONFIRM,
	/** Looking up the transaction of a statement. */
	TRANSACTION,
	/** Promoting a database member. */
	PROMOTE,
	/** Changing the replicated control state. */
	CONTROL,
	/** Reading or checking settings. */
	SETTINGS,
	/** Reading or writing the data folder. */
	STORAGE

}
