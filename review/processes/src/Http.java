import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.URL;
import java.nio.charset.StandardCharsets;

/** Small HTTP calls to the daemons. */
final class Http {

	private Http() {
	}

	static int post(String url, String body) throws IOException {
		return call(url, body).status();
	}

	record Answer(int status, String body) {
	}

	static Answer call(String url, String body) throws IOException {
		HttpURLConnection connection = (HttpURLConnection) new URL(url).openConnection();
		connection.setConnectTimeout(1_000);
		connection.setReadTimeout(1_000);
		connection.setInstanceFollowRedirects(true);
		try {
			if (body != null) {
				connection.setRequestMethod("POST");
				connection.setDoOutput(true);
				connection.setRequestProperty("Content-Type", "application/json");
				try (OutputStream output = connection.getOutputStream()) {
					output.write(body.getBytes(StandardCharsets.UTF_8));
				}
			}
			int status = connection.getResponseCode();
			InputStream input = (status < 400) ? connection.getInputStream() : connection.getErrorStream();
			String text = (input != null) ? new String(input.readAllBytes(), StandardCharsets.UTF_8) : "";
			return new Answer(status, text);
		}
		finally {
			connection.disconnect();
		}
	}

}
