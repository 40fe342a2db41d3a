package org.jackdawsaddle.internal.pool;

/** The sum of amounts that were added during the latest stretch of time. */
final class WindowedSum {
    private static final int BUCKETS = 10;

    private final long mBucketMillis;
    private final double[] mSums = new double[BUCKETS];

    /** The number of the latest bucket: its start in units of the bucket length. */
    private long mLatestBucket;

    /**
     * Creates a sum of nothing.
     *
     * @param windowMillis the length of the stretch, in milliseconds
     */
    WindowedSum(long windowMillis) {
        mBucketMillis = Math.max(1, windowMillis / BUCKETS);
    }

    void add(double amount, long now) {
        advanceTo(now);
        mSums[index(mLatestBucket)] += amount;
    }

    double sum(long now) {
        advanceTo(now);
        double sum = 0;
        for (double bucket : mSums) {
            sum += bucket;
        }
        return sum;
    }

    private void advanceTo(long now) {
        long bucket = now / mBucketMillis;
        long oldest = Math.max(mLatestBucket + 1, bucket - BUCKETS + 1);
        for (long cleared = oldest; cleared <= bucket; cleared++) {
            mSums[index(cleared)] = 0;
        }
        mLatestBucket = Math.max(mLatestBucket, bucket);
    }

    private static int index(long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKETS);
    }
}
