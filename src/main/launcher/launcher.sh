#!/bin/sh
exec java -Xms64m -Xmx512m -XX:+UseSerialGC -XX:+ExitOnOutOfMemoryError -XX:TieredStopAtLevel=4 ${MARJORAMHOIST_JAVA_OPTS:-} -jar "$0" "$@"
