package org.magnolialead.testsupport.proxy;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * Serves control requests of the form {@code POST
 * /routes/{name}?direction=to-target|to-client|both&mode=...}, where the mode is
 * continue, cut, hold, delay (with the parameter milliseconds), refuse, accept or reset.
 */
final class ProxyControlHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

	private static final String PREFIX = "/routes/";

	private final FaultProxy proxy;

	ProxyControlHandler(FaultProxy proxy) {
		this.proxy = proxy;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
		QueryStringDecoder target = new QueryStringDecoder(request.uri());
		if (!target.path().startsWith(PREFIX)) {
			respond(context, HttpResponseStatus.NOT_FOUND, "unknown path " + target.path());
			return;
		}
		try {
			change(target.path().substring(PREFIX.length()), target);
			respond(context, HttpResponseStatus.OK, "done");
		}
		catch (IllegalArgumentException ex) {
			respond(context, HttpResponseStatus.BAD_REQUEST, ex.getMessage());
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

	private void change(String route, QueryStringDecoder target) {
		String mode = parameter(target, "mode", "continue");
		switch (mode) {
			case "refuse" -> this.proxy.refuseConnections(route, true);
			case "accept" -> this.proxy.refuseConnections(route, false);
			case "reset" -> this.proxy.reset(route);
			default -> changeDirections(route, toEnumName(mode), target);
		}
	}

	private void changeDirections(String route, String mode, QueryStringDecoder target) {
		FaultMode faultMode = FaultMode.valueOf(mode);
		long milliseconds = Long.parseLong(parameter(target, "milliseconds", "0"));
		String direction = parameter(target, "direction", "both");
		if (direction.equals("both")) {
			this.proxy.change(route, faultMode, milliseconds);
		}
		else {
			this.proxy.change(route, Direction.valueOf(toEnumName(direction)), faultMode, milliseconds);
		}
	}

	private String toEnumName(String text) {
		return text.toUpperCase(Locale.ROOT).replace('-', '_');
	}

	private String parameter(QueryStringDecoder target, String name, String defaultValue) {
		List<String> values = target.parameters().get(name);
		return (values != null) ? values.get(0) : defaultValue;
	}

	private void respond(ChannelHandlerContext context, HttpResponseStatus status, String text) {
		ByteBuf content = Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
		HttpUtil.setContentLength(response, content.readableBytes());
		context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
	}

}
