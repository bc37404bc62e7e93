package io.saltflow.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.model.AdaptiveRateLimiter;
import io.saltflow.model.MonotonicTime;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against uneven shares when several clients use one rate limit without coordination. */
class AdaptiveRateLimiterTest {
  @Test
  void fiveClientsConvergeToEvenSharesWithFewRejections() {
    List<AdaptiveRateLimiter> limiters = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      limiters.add(new AdaptiveRateLimiter(4.5, 45, new MonotonicTime(0)));
    }
    int[] served = new int[5];
    int lateRejections = 0;
    double permits = 100;
    for (long ms = 0; ms < 60_000; ms += 10) {
      permits = Math.min(100, permits + 1);
      for (int i = 0; i < 5; i++) {
        int client = (int) ((i + ms / 10) % 5);
        if (!limiters.get(client).tryAcquire(new MonotonicTime(ms))) {
          continue;
        }
        if (permits >= 1) {
          permits--;
          served[client]++;
        } else {
          limiters.get(client).onRejected(new MonotonicTime(ms));
          lateRejections += ms > 10_000 ? 1 : 0;
        }
      }
    }
    int total = 0;
    for (int count : served) {
      total += count;
      assertTrue(
          count > 600 && count < 1800, "expected 50% to 150% of an even share, was " + count);
    }
    assertTrue(total > 4_500, "expected more than 4,500 of 6,000 served, was " + total);
    assertTrue(
        lateRejections < 500,
        "expected fewer than 500 rejections of 11,250 possible requests in 50 s, was "
            + lateRejections);
  }

  @Test
  void rateStaysWithinItsBounds() {
    AdaptiveRateLimiter limiter = new AdaptiveRateLimiter(5, 45, new MonotonicTime(0));
    for (int s = 0; s < 30; s++) {
      limiter.onRejected(new MonotonicTime(s * 1100L));
    }
    assertTrue(limiter.rate() >= 5 && limiter.rate() < 10, "" + limiter.rate());
    limiter.tryAcquire(new MonotonicTime(120_000));
    assertEquals(45, limiter.rate());
  }
}
