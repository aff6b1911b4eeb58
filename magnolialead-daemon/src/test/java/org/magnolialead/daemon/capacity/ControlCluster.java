package org.magnolialead.daemon.capacity;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.message.ConsensusMessage;
import org.magnolialead.api.message.HeartbeatRequest;
import org.magnolialead.api.message.SubmitCommandRequest;
import org.magnolialead.daemon.control.CommandLogSettings;
import org.magnolialead.daemon.control.ControlController;
import org.magnolialead.daemon.control.ControlSettings;
import org.magnolialead.daemon.control.ControlStateMachine;
import org.magnolialead.daemon.control.DefaultCommandLog;
import org.magnolialead.daemon.control.WallClock;
import org.magnolialead.transport.peer.PeerClient;
import org.magnolialead.transport.peer.PeerServer;

/**
 * Cluster of three control daemons in this process with real files and peer connections
 * over loopback.
 */
final class ControlCluster implements AutoCloseable {

	private static final String HOST = "127.0.0.1";

	private static final int WORKERS = 4;

	private final Path folder;

	private final Map<String, String> addresses = new LinkedHashMap<>();

	private final Map<String, Member> members = new ConcurrentHashMap<>();

	ControlCluster(Path folder) {
		this.folder = folder;
		for (String name : List.of("c1", "c2", "c3")) {
			this.addresses.put(name, HOST + ":" + freePort());
		}
		this.addresses.keySet().forEach(this::start);
		Measure.await(() -> this.members.get("c1").log.initialize().accepted());
		Measure.await(() -> this.members.values().stream().allMatch((member) -> member.log.voters().size() == 3));
	}

	Map<String, String> addresses() {
		return this.addresses;
	}

	void start(String name) {
		this.members.put(name, new Member(name));
	}

	void stop(String name) {
		this.members.remove(name).close();
	}

	Member member(String name) {
		return this.members.get(name);
	}

	String leader() {
		Measure.await(() -> this.members.values().stream().anyMatch((member) -> member.log.hasAuthority()));
		return this.members.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().log.hasAuthority())
			.map(Map.Entry::getKey)
			.findFirst()
			.orElseGet(this::leader);
	}

	String follower() {
		String leader = leader();
		return this.members.keySet().stream().filter((name) -> !name.equals(leader)).findFirst().orElseThrow();
	}

	@Override
	public void close() {
		List.copyOf(this.members.keySet()).forEach(this::stop);
	}

	private static int freePort() {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * One control daemon of the cluster.
	 */
	final class Member {

		private final ControlStateMachine machine = new ControlStateMachine();

		private final PeerClient client = new PeerClient(MonotonicClock.SYSTEM);

		private final ExecutorService workers;

		private final DefaultCommandLog log;

		private final ControlController controller;

		private final PeerServer server;

		Member(String name) {
			String address = ControlCluster.this.addresses.get(name);
			this.workers = Executors.newFixedThreadPool(WORKERS, Measure.threads("control-worker"));
			this.log = new DefaultCommandLog(
					CommandLogSettings.withDefaults(name, address, ControlCluster.this.folder.resolve(name),
							ControlCluster.this.addresses),
					this.machine, this.client::send, MonotonicClock.SYSTEM, new Random(), System.nanoTime());
			this.controller = new ControlController(ControlSettings.defaults(name), this.log, this.machine,
					MonotonicClock.SYSTEM, WallClock.SYSTEM);
			int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
			this.server = new PeerServer(HOST, port, this::handle, this.workers);
			this.log.start();
			this.controller.start();
		}

		ControlStateMachine machine() {
			return this.machine;
		}

		DefaultCommandLog log() {
			return this.log;
		}

		ControlController controller() {
			return this.controller;
		}

		private CompletableFuture<Object> handle(Object message) {
			if (message instanceof ConsensusMessage consensus) {
				this.log.receive(consensus);
				return null;
			}
			if (message instanceof HeartbeatRequest heartbeat) {
				return this.controller.heartbeat(heartbeat).thenApply((answer) -> answer);
			}
			return this.controller.submit((SubmitCommandRequest) message).thenApply((answer) -> answer);
		}

		private void close() {
			this.controller.close();
			this.server.close();
			this.log.close();
			this.client.close();
			this.workers.shutdownNow();
		}

	}

}
