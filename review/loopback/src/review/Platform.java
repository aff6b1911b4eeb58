package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in for the platform's endpoint of promotions, which checks fencing tokens. The
 * named member leads 300 ms after the call.
 */
final class Platform implements AutoCloseable {

	static final long PROMOTION_MILLISECONDS = 300;

	private static final Pattern MEMBER = Pattern.compile("\"id\"\\s*:\\s*\"([^\"]+)\"");

	private final HttpServer server;

	private final Record record;

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		return thread;
	});

	private volatile Database database;

	private volatile Consumer<String> onOrder = (member) -> {
	};

	private volatile long lateMilliseconds;

	private long highestToken;

	Platform(Record record) throws IOException {
		this.record = record;
		this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 32);
		this.server.createContext("/promote", this::promote);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task);
			thread.setDaemon(true);
			return thread;
		}));
		this.server.start();
	}

	String address() {
		return "127.0.0.1:" + this.server.getAddress().getPort();
	}

	void serve(Database served) {
		this.database = served;
	}

	/** Leaves the next order without an answer and carries it out late. */
	void carryOutNextOrderAfter(long milliseconds) {
		this.lateMilliseconds = milliseconds;
	}

	/** Sets what is called when an order to promote a member arrives. */
	void whenOrdered(Consumer<String> listener) {
		this.onOrder = listener;
	}

	private void promote(HttpExchange exchange) throws IOException {
		String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
		long token = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Fence-Token"));
		Matcher matcher = MEMBER.matcher(body);
		int status = 400;
		if (matcher.find()) {
			String member = matcher.group(1);
			long late = this.lateMilliseconds;
			if (late > 0) {
				this.lateMilliseconds = 0;
				this.record.add("platform: order to promote %s from %s with token %d, no answer", member,
						exchange.getRequestHeaders().getFirst("X-Lease-Holder"), token);
				this.timer.schedule(() -> this.record.add("platform: late order to promote %s with token %d, result %d",
						member, token, order(member, token)), late, TimeUnit.MILLISECONDS);
				return;
			}
			status = order(member, token);
			this.record.add("platform: order to promote %s from %s with token %d, answer %d", member,
					exchange.getRequestHeaders().getFirst("X-Lease-Holder"), token, status);
			if (status == 200) {
				this.onOrder.accept(member);
			}
		}
		exchange.sendResponseHeaders(status, -1);
		exchange.close();
	}

	private synchronized int order(String member, long token) {
		if (token < this.highestToken || this.database.member(member) == null) {
			return 409;
		}
		this.highestToken = token;
		this.timer.schedule(() -> this.database.promote(member), PROMOTION_MILLISECONDS, TimeUnit.MILLISECONDS);
		return 200;
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.timer.shutdownNow();
	}

}
