#include "io/loop.h"

#include <algorithm>
#include <utility>

namespace radishroute {

namespace {

// The default of 1024 descriptors is too few for an entry in front of thousands of callers.
constexpr unsigned kMaxDescriptors = 20000;

}  // namespace

void QuietLibwebsockets() { lws_set_log_level(LLL_ERR, nullptr); }

io_loop::io_loop() {
  lws_context_creation_info info{};
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DISABLE_IPV6 |
                 LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
  info.fd_limit_per_thread = kMaxDescriptors;
  info.user = this;
  // Each request in progress needs a header buffer only while its headers are parsed.
  info.max_http_header_pool = 4096;
  info.timeout_secs = 10;
  // A host that is gone does not answer; work for it must move on well within its deadline.
  info.connect_timeout_secs = 2;
  context_ = lws_create_context(&info);
  timer_.owner = this;
}

io_loop::~io_loop() {
  if (context_ != nullptr) lws_context_destroy(context_);
}

bool io_loop::CreateClientVhost(const lws_protocols* protocols) {
  lws_context_creation_info info{};
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.vhost_name = "client";
  info.protocols = protocols;
  info.options = LWS_SERVER_OPTION_DISABLE_IPV6;
  client_vhost_ = lws_create_vhost(context_, &info);
  return client_vhost_ != nullptr;
}

bool io_loop::Post(task t) {
  {
    std::lock_guard lock(mutex_);
    if (posted_.size() >= kMaxPostedTasks) return false;
    posted_.push_back(std::move(t));
  }
  lws_cancel_service(context_);
  return true;
}

void io_loop::PostCompletion(task t) {
  {
    std::lock_guard lock(mutex_);
    posted_.push_back(std::move(t));
  }
  lws_cancel_service(context_);
}

void io_loop::RunPosted() {
  std::vector<task> tasks;
  {
    std::lock_guard lock(mutex_);
    tasks.swap(posted_);
  }
  for (task& t : tasks) t();
}

void io_loop::OnCancelled(lws* wsi) {
  auto* loop = static_cast<io_loop*>(lws_context_user(lws_get_context(wsi)));
  if (loop != nullptr) loop->RunPosted();
}

lws_protocols io_loop::WakeProtocol() {
  lws_protocols protocol{};
  protocol.name = "wake";
  protocol.callback = [](lws* wsi, lws_callback_reasons reason, void*, void*, size_t) {
    if (reason == LWS_CALLBACK_EVENT_WAIT_CANCELLED) OnCancelled(wsi);
    return 0;
  };
  return protocol;
}

void io_loop::WakeAt(steady_time at) {
  if (timer_at_ && *timer_at_ <= at) return;
  timer_at_ = at;
  auto delay =
      std::chrono::duration_cast<std::chrono::microseconds>(at - std::chrono::steady_clock::now());
  // One microsecond at least: the timer then fires after `at`, never just before it.
  lws_usec_t us = std::max<lws_usec_t>(delay.count() + 1, 1);
  lws_sul_schedule(context_, 0, &timer_.sul, &io_loop::OnTimer, us);
}

void io_loop::OnTimer(lws_sorted_usec_list_t* sul) {
  io_loop* loop = lws_container_of(sul, timer, sul)->owner;
  loop->timer_at_.reset();
  if (loop->on_timer_) loop->on_timer_();
}

void io_loop::Run() {
  while (!stopped_.load(std::memory_order_relaxed)) {
    if (lws_service(context_, 0) < 0) break;
  }
}

void io_loop::Stop() {
  stopped_.store(true, std::memory_order_relaxed);
  lws_cancel_service(context_);
}

}  // namespace radishroute
