Feature: a booking runs at most once, and never if its outcome is not-run

  Background:
    Given a service dispatch with 2 endpoints in two regions
    And the platform lists dispatch-0 as leaving
    And a booking sent to dispatch-0 gets the outcome served

  Scenario: a call held back by the link arrives after its outcome was resolved
    When the link holds back the data of its open connections
    And a booking is sent to dispatch-0
    Then the outcome of the booking is not-run
    When the link releases the data that it held back
    Then the booking ran 0 times

  Scenario: a response lost on a silent connection is fetched over a new one
    Given a request takes 600 ms on dispatch-1
    When a booking is sent to dispatch-0
    And the booking is running on dispatch-1
    And the open connections of the link go silent
    Then the outcome of the booking is served
    And the booking ran 1 times

  Scenario: the daemon of the running booking is killed
    Given a request takes 600 ms on dispatch-1
    When a booking is sent to dispatch-0
    And the booking is running on dispatch-1
    And the daemon of dispatch-1 is killed and restarted
    Then the outcome of the booking is unknown
    And the booking ran 1 times
    And its ticket sent to dispatch-1 gets the outcome unknown

  Scenario: the backend server is killed while the booking runs
    Given a request takes 600 ms on dispatch-1
    When a booking is sent to dispatch-0
    And the booking is running on dispatch-1
    And the backend server of dispatch-1 is killed
    Then the outcome of the booking is unknown

  Scenario: a ticket redeemed through another daemon gets the same response
    Given a request takes 1500 ms on dispatch-1
    When a booking is sent to dispatch-0 with a deadline of 3000 ms
    And the link is cut until the booking has an outcome
    Then the outcome of the booking is unknown
    And its ticket sent to dispatch-1 gets the outcome served
    And its ticket sent to dispatch-0 gets the outcome served
    And the booking ran 1 times

  Scenario: a booking held back by the link is barred through another daemon
    When the link holds back the data of its open connections
    And the link holds back the data of new connections too
    And a booking is sent to dispatch-0
    Then the outcome of the booking is unknown
    And its ticket sent to dispatch-1 gets the outcome not-run
    When the link releases the data that it held back
    Then the booking ran 0 times
