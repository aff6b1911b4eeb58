import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiPredicate;
import java.util.function.ToLongFunction;

/** A member that speaks the wire protocol and reports its state to the control daemons. */
final class Member {

	private static final int SLOTS = 2;

	private static final int QUEUE = 16;

	private static final long HANDSHAKE_MILLISECONDS = 12;

	private static final long HEARTBEAT_MILLISECONDS = 1_200;

	private static final AtomicLong MACS = new AtomicLong();

	final String id;

	final Group group;

	final int maximumConnections;

	final List<Group.Entry> log = new ArrayList<>();

	volatile int applied;

	volatile long term = 1;

	volatile boolean down;

	/** Receives nothing from the primary. */
	volatile boolean deaf;

	/** Mean of the time in milliseconds after which a replica applies what it received. */
	volatile long lagMilliseconds = 20;

	/** Decides which statements fail, by verb and identifier. */
	volatile BiPredicate<String, String> fails = (verb, identifier) -> false;

	/** Decides for which statements that ran the answer is lost, by verb and identifier. */
	volatile BiPredicate<String, String> losesAnswer = (verb, identifier) -> false;

	/** Time in milliseconds that a read, write or commit takes. */
	volatile ToLongFunction<String> work = (verb) -> 3 + ThreadLocalRandom.current().nextLong(12);

	/** Called when a statement of a client runs. */
	volatile Runs runs = (identifier, text, values, writes) -> {
	};

	/** Called with the identifier of each request that arrives. */
	volatile java.util.function.Consumer<String> arrives = (identifier) -> {
	};

	interface Runs {

		void ran(String identifier, String text, Map<String, String> values, boolean writes);

	}

	private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

	private final Semaphore slots = new Semaphore(SLOTS, true);

	private final AtomicInteger waiting = new AtomicInteger();

	private final List<String> control;

	private final String zone;

	private final long born = System.currentTimeMillis();

	private long sequence;

	private final InetSocketAddress address;

	private volatile ServerSocket listener;

	private volatile boolean reportDue;

	Member(String id, Group group, String zone, int maximumConnections, List<String> control, int host) throws IOException {
		this.id = id;
		this.group = group;
		this.zone = zone;
		this.maximumConnections = maximumConnections;
		this.control = control;
		ServerSocket probe = new ServerSocket();
		probe.bind(new InetSocketAddress(InetAddress.getByName(Addresses.network() + host), 0));
		this.address = (InetSocketAddress) probe.getLocalSocketAddress();
		this.listener = probe;
		group.members.put(id, this);
		if (group.primary == null) {
			group.primary = this;
		}
	}

	void start() {
		thread(this::accept, "accept-" + this.id);
		thread(this::heartbeats, "heartbeats-" + this.id);
	}

	private static void thread(Runnable task, String name) {
		Thread thread = new Thread(null, task, name, 256 * 1024);
		thread.setDaemon(true);
		thread.start();
	}

	boolean leads(long inTerm) {
		return this.group.primary == this && this.term == inTerm && !this.down;
	}

	Group.Entry received() {
		return this.log.isEmpty() ? new Group.Entry(1, 0, Map.of(), "", 0) : this.log.get(this.log.size() - 1);
	}

	/** Called with the lock of the group. Takes what the primary committed a network delay ago. */
	void receiveFrom(Member source, long now) {
		int common = 0;
		while (common < this.log.size() && common < source.log.size() && this.log.get(common).equals(source.log.get(common))) {
			common++;
		}
		while (this.log.size() > common) {
			this.log.remove(this.log.size() - 1);
		}
		this.applied = Math.min(this.applied, this.log.size());
		this.term = source.term;
		while (this.log.size() < source.log.size()
				&& now - source.log.get(this.log.size()).committedAt() >= Group.NETWORK_MILLISECONDS) {
			this.log.add(source.log.get(this.log.size()));
		}
	}

	void apply(long now) {
		while (this.applied < this.log.size() && (this.group.primary == this
				|| now - this.log.get(this.applied).committedAt() >= this.lagMilliseconds)) {
			this.applied++;
		}
	}

	/** The process ends without a word: its connections are closed and its port refuses. */
	void crash() throws IOException {
		Record.line("%s crashes", this.id);
		synchronized (this.group) {
			this.down = true;
		}
		this.listener.close();
		this.connections.forEach(Connection::close);
	}

	/** The process comes back with its log. */
	void restart() throws IOException {
		Record.line("%s is back", this.id);
		ServerSocket opened = new ServerSocket();
		opened.setReuseAddress(true);
		opened.bind(this.address);
		this.listener = opened;
		synchronized (this.group) {
			this.down = false;
		}
		this.reportDue = true;
		thread(this::accept, "accept-" + this.id);
	}

	private void accept() {
		ServerSocket accepting = this.listener;
		try {
			while (true) {
				Connection connection = new Connection(accepting.accept());
				this.connections.add(connection);
				thread(connection, "connection-" + this.id);
			}
		}
		catch (IOException ex) {
			return;
		}
	}

	void reportNow() {
		this.reportDue = true;
	}

	private void heartbeats() {
		long next = 0;
		int index = Math.floorMod(this.id.hashCode(), this.control.size());
		while (true) {
			try {
				Thread.sleep(20);
				long now = System.nanoTime() / 1_000_000;
				if (this.down || (now < next && !this.reportDue)) {
					continue;
				}
				this.reportDue = false;
				this.sequence++;
				String body = ("{\"service\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,"
						+ "\"state\":\"ready\",\"coldLeftMs\":0,\"dbRole\":\"%s\",\"seq\":%d,\"born\":%d}").formatted(
								this.group.service, this.address.getAddress().getHostAddress(), this.address.getPort(),
								this.zone, SLOTS, (this.group.primary == this) ? "primary" : "replica", this.sequence,
								this.born);
				Http.Answer answer = Http.call("POST", this.control.get(index), "/Instances.Heartbeat/" + this.id,
						body.getBytes(StandardCharsets.UTF_8));
				if (answer.status() / 100 == 2) {
					next = now + HEARTBEAT_MILLISECONDS;
				}
				else {
					index = (index + 1) % this.control.size();
					this.reportDue = true;
				}
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private final class Connection implements Runnable {

		private final Socket socket;

		private final Map<String, String> values = new HashMap<>();

		private final Map<String, String[]> prepared = new HashMap<>();

		private final Map<String, String> writes = new HashMap<>();

		private OutputStream output;

		/** I, T or E. */
		private char state = 'I';

		private boolean readOnly;

		private long termAtBegin;

		private Connection(Socket socket) {
			this.socket = socket;
		}

		private void close() {
			try {
				this.socket.close();
			}
			catch (IOException ex) {
				return;
			}
		}

		@Override
		public void run() {
			try {
				this.socket.setTcpNoDelay(true);
				this.output = this.socket.getOutputStream();
				BufferedReader reader = new BufferedReader(
						new InputStreamReader(this.socket.getInputStream(), StandardCharsets.ISO_8859_1));
				if (connect(reader.readLine())) {
					String line = reader.readLine();
					while (line != null && !line.equals("QUIT")) {
						query(line);
						line = reader.readLine();
					}
				}
			}
			catch (IOException | InterruptedException | RuntimeException ex) {
				if (!(ex instanceof IOException)) {
					Record.line("connection to %s ends: %s", Member.this.id, ex);
				}
			}
			finally {
				Member.this.connections.remove(this);
				close();
			}
		}

		private boolean connect(String line) throws IOException, InterruptedException {
			if (line == null) {
				return false;
			}
			String[] words = line.split(" ");
			boolean wrong = words.length < 3 || !words[0].equals("CONNECT") || !words[1].equals(Member.this.group.service)
					|| (words.length > 3 && !words[3].equals(Member.this.id));
			if (wrong || Member.this.connections.size() > Member.this.maximumConnections) {
				write("ERR " + (wrong ? "WRONGNODE" : "TOOMANY") + " " + Member.this.id + "\r\n");
				return false;
			}
			Thread.sleep(HANDSHAKE_MILLISECONDS);
			write(ready());
			return true;
		}

		private void query(String line) throws IOException, InterruptedException {
			String[] parts = line.split(" ", 3);
			String text = parts[2];
			Member.this.arrives.accept(parts[1]);
			String after = null;
			if (text.startsWith("AFTER ")) {
				String[] pieces = text.split(" ", 3);
				after = pieces[1];
				text = pieces[2];
			}
			String verb = text.split(" ", 2)[0];
			String rest = text.contains(" ") ? text.substring(text.indexOf(' ') + 1) : "";
			if (Member.this.fails.test(verb, parts[1])) {
				Record.line("%s fails: QUERY %s %s", Member.this.id, parts[1], text);
				if (this.state == 'T') {
					this.state = 'E';
				}
				error("FAILED");
				return;
			}
			if (after != null && !includes(after)) {
				error("LAGGING");
				return;
			}
			switch (verb) {
				case "SET" -> {
					this.values.put(rest.split(" ", 2)[0], rest.split(" ", 2)[1]);
					done("-", List.of());
				}
				case "PREPARE" -> {
					this.prepared.put(rest.split(" ", 3)[0], rest.split(" ", 3));
					done("-", List.of());
				}
				case "CLOSE" -> {
					this.prepared.remove(rest);
					done("-", List.of());
				}
				case "RESET" -> {
					this.values.clear();
					this.prepared.clear();
					done("-", List.of());
				}
				case "STATUS" -> status();
				case "DEMOTE" -> status();
				case "BEGIN" -> begin(rest.equals("READ"));
				case "ROLLBACK" -> {
					this.state = 'I';
					this.writes.clear();
					done("-", List.of());
				}
				case "COMMIT" -> commit(parts[1], text);
				default -> statement(parts[1], verb, rest, text);
			}
		}

		private boolean includes(String position) {
			long otherTerm = Long.parseLong(position.substring(0, position.indexOf('.')));
			long otherNumber = Long.parseLong(position.substring(position.indexOf('.') + 1));
			synchronized (Member.this.group) {
				Group.Entry last = appliedEntry();
				return last.term() > otherTerm || (last.term() == otherTerm && last.number() >= otherNumber)
						|| otherNumber == 0;
			}
		}

		private Group.Entry appliedEntry() {
			int count = Member.this.applied;
			return (count == 0) ? new Group.Entry(1, 0, Map.of(), "", 0) : Member.this.log.get(count - 1);
		}

		private boolean acquireSlot() throws InterruptedException, IOException {
			if (Member.this.waiting.get() >= QUEUE) {
				error("BUSY");
				return false;
			}
			Member.this.waiting.incrementAndGet();
			Member.this.slots.acquire();
			Member.this.waiting.decrementAndGet();
			return true;
		}

		private void status() throws IOException, InterruptedException {
			if (!acquireSlot()) {
				return;
			}
			Member.this.slots.release();
			synchronized (Member.this.group) {
				Group.Entry last = received();
				boolean primary = Member.this.group.primary == Member.this;
				Record.line("%s answers STATUS: %s %d %d.%d", Member.this.id, primary ? "primary" : "replica",
						Member.this.term, last.term(), last.number());
				done("-", List.of("%s %d %d.%d 0 %d 0 %d".formatted(primary ? "primary" : "replica", Member.this.term,
						last.term(), last.number(), Member.this.lagMilliseconds, Member.this.connections.size())));
			}
		}

		private void begin(boolean reads) throws IOException {
			if (this.state != 'I') {
				error("MALFORMED");
				return;
			}
			if (!reads && Member.this.group.primary != Member.this) {
				error("READONLY");
				return;
			}
			this.state = 'T';
			this.readOnly = reads;
			this.termAtBegin = Member.this.term;
			done("-", List.of());
		}

		private void statement(String identifier, String verb, String rest, String text)
				throws IOException, InterruptedException {
			String[] words = rest.split(" ", 2);
			String item = words[0];
			boolean writing = verb.equals("WRITE");
			if (verb.equals("EXECUTE")) {
				String[] shape = this.prepared.get(words[0]);
				if (shape == null) {
					error("NOSTMT");
					return;
				}
				writing = shape[1].equals("WRITE");
				item = words[1].split(" ", 2)[0];
				words = words[1].split(" ", 2);
			}
			else if (!verb.equals("READ") && !writing) {
				error("MALFORMED");
				return;
			}
			boolean plain = this.state == 'T' && !this.readOnly;
			boolean lostLead = plain && !leads(this.termAtBegin);
			if (lostLead || (writing && Member.this.group.primary != Member.this)) {
				this.state = (this.state == 'T') ? 'E' : this.state;
				error("READONLY");
				return;
			}
			if (!acquireSlot()) {
				return;
			}
			try {
				Thread.sleep(Member.this.work.applyAsLong(verb));
			}
			finally {
				Member.this.slots.release();
			}
			Member.this.runs.ran(identifier, text, Map.copyOf(this.values), writing);
			if (!writing) {
				answer(verb, identifier, List.of("row-" + item));
				return;
			}
			String data = (words.length > 1) ? words[1] : "";
			if (this.state == 'T') {
				this.writes.put(item, data);
				answer(verb, identifier, List.of());
				return;
			}
			if (Member.this.group.commit(Member.this, Member.this.term, Map.of(item, data), identifier) == null) {
				error("READONLY");
				return;
			}
			answer(verb, identifier, List.of());
		}

		private void commit(String identifier, String text) throws IOException, InterruptedException {
			if (this.state != 'T') {
				this.state = 'I';
				error("MALFORMED");
				return;
			}
			if (!acquireSlot()) {
				return;
			}
			try {
				Thread.sleep(Member.this.work.applyAsLong("COMMIT"));
			}
			finally {
				Member.this.slots.release();
			}
			Member.this.runs.ran(identifier, text, Map.copyOf(this.values), !this.writes.isEmpty());
			this.state = 'I';
			if (!this.writes.isEmpty()
					&& Member.this.group.commit(Member.this, this.termAtBegin, this.writes, identifier) == null) {
				this.writes.clear();
				error("READONLY");
				return;
			}
			this.writes.clear();
			answer("COMMIT", identifier, List.of());
		}

		private void answer(String verb, String identifier, List<String> rows) throws IOException {
			if (Member.this.losesAnswer.test(verb, identifier)) {
				Record.line("%s ran %s, and its answer is lost: %s", Member.this.id, verb, identifier);
				return;
			}
			done(mac(), rows);
		}

		private String mac() {
			return "mac." + Member.this.id + "." + MACS.incrementAndGet();
		}

		private void done(String mac, List<String> rows) throws IOException {
			StringBuilder text = new StringBuilder();
			rows.forEach((row) -> text.append("ROW ").append(row).append("\r\n"));
			write(text.append("DONE ").append(mac).append("\r\n").append(ready()).toString());
		}

		private void error(String code) throws IOException {
			write("ERR " + code + " " + Member.this.id + "\r\n" + ready());
		}

		private String ready() {
			synchronized (Member.this.group) {
				Group.Entry last = appliedEntry();
				return "READY " + this.state + " " + Math.max(last.term(), (Member.this.group.primary == Member.this) ? Member.this.term : 0)
						+ "." + last.number() + "\r\n";
			}
		}

		private void write(String text) throws IOException {
			this.output.write(text.getBytes(StandardCharsets.ISO_8859_1));
			this.output.flush();
		}

	}

}
